import type { Slope } from './Measurement.js';
import { fitSlope } from './fitSlope.js';
import { LoadedRouter } from './LoadedRouter.js';

const REPLICAS = [75, 150, 300, 600, 1200];
const QUEUED = [1250, 2500, 5000, 10_000, 20_000];
const REPEATS = 5;
const DECISIONS = 4000;
const FIXED_QUEUED = 10_000;
const FIXED_REPLICAS = 600;
const MICROSECONDS = 1000;
function microsPerDecision(replicas: number, queued: number): number {
  const loaded = new LoadedRouter(replicas, queued);
  const repeat = (count: number): void => {
    Array.from({ length: count }).forEach(() => {
      loaded.decide();
    });
  };
  repeat(DECISIONS / 4);
  const startMs = performance.now();
  repeat(DECISIONS);
  return ((performance.now() - startMs) * MICROSECONDS) / DECISIONS;
}

/** Cost of admitting one request and routing another, over replicas and over queued requests. */
export async function measureDecisions(): Promise<readonly Slope[]> {
  // The first run in a process pays for compilation; it is thrown away.
  microsPerDecision(FIXED_REPLICAS, FIXED_QUEUED);
  const byReplicas = await fitSlope(
    {
      name: 'decision over replicas, 10,000 queued',
      sizeUnit: 'replicas',
      valueUnit: 'µs',
    },
    REPLICAS,
    REPEATS,
    size => microsPerDecision(size, FIXED_QUEUED),
  );
  const byQueued = await fitSlope(
    {
      name: 'decision over queued requests, 600 replicas',
      sizeUnit: 'requests',
      valueUnit: 'µs',
    },
    QUEUED,
    REPEATS,
    size => microsPerDecision(FIXED_REPLICAS, size),
  );
  return [byReplicas, byQueued];
}
