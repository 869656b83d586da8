import type { Slope } from './Measurement.js';
import { fitSlope } from './fitSlope.js';
import { LoadedRouter } from './LoadedRouter.js';

const REPLICA_COUNTS = [75, 150, 300, 600, 1200];
const QUEUE_LENGTHS = [1250, 2500, 5000, 10_000, 20_000];
const REPEATS = 5;
const DECISIONS_PER_READING = 4000;
const FIXED_QUEUE_LENGTH = 10_000;
const FIXED_REPLICA_COUNT = 600;
const MICROS_PER_MS = 1000;

/** Mean duration of a decision cycle, in microseconds, after a warm-up. */
function microsPerDecision(replicas: number, queued: number): number {
  const loaded = new LoadedRouter(replicas, queued);
  const repeat = (count: number): void => {
    Array.from({ length: count }).forEach(() => {
      loaded.decide();
    });
  };
  repeat(DECISIONS_PER_READING / 4);
  const startMs = performance.now();
  repeat(DECISIONS_PER_READING);
  return (
    ((performance.now() - startMs) * MICROS_PER_MS) / DECISIONS_PER_READING
  );
}

/** Measures the cost of admitting one request and routing another, by replicas and by queue length. */
export async function measureDecisions(): Promise<readonly Slope[]> {
  // The first run in a process includes JIT compilation, so its result is discarded.
  microsPerDecision(FIXED_REPLICA_COUNT, FIXED_QUEUE_LENGTH);
  const byReplicas = await fitSlope(
    {
      name: 'decision over replicas, 10,000 queued',
      sizeUnit: 'replicas',
      valueUnit: 'µs',
    },
    REPLICA_COUNTS,
    REPEATS,
    size => microsPerDecision(size, FIXED_QUEUE_LENGTH),
  );
  const byQueued = await fitSlope(
    {
      name: 'decision over queued requests, 600 replicas',
      sizeUnit: 'requests',
      valueUnit: 'µs',
    },
    QUEUE_LENGTHS,
    REPEATS,
    size => microsPerDecision(FIXED_REPLICA_COUNT, size),
  );
  return [byReplicas, byQueued];
}
