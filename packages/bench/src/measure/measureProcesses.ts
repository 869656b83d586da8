import { z } from 'zod';

import { demoDeployment, keyOf } from '../demo/demoDeployment.js';
import { fitSlope, fitLine } from './fitSlope.js';
import type { Point, Slope } from './Measurement.js';
import { ProcessFleet } from './ProcessFleet.js';
import { processUsage } from './processUsage.js';

const FAST_ENGINE = {
  maxBatch: 512,
  stepBaseMs: 10,
  stepPerSequenceMs: 0.02,
  prefillPerTokenMs: 0.001,
};
const ENGINES = 3;
const LOAD_S = 8;
const SETTLE_MS = 3000;
/** Time until the code of an idle instance has been JIT-compiled. */
const IDLE_SETTLE_MS = 12_000;
const FLEET_SIZES = [2, 4, 8, 16];
const MS_PER_SECOND = 1000;
const MICROS_PER_MS = 1000;
const SHORT_MAX_TOKENS = 8;
const LONG_MAX_TOKENS = 200;
const SHORT_RATES_PER_S = [40, 80, 160, 320];
const LONG_RATES_PER_S = [10, 20, 40, 80];
const DIRECT_RATE_PER_S = 20;
const WARM_UP_RATE_PER_S = 320;
const MIB = 1_048_576;

const loadSchema = z.object({
  calls: z.number(),
  whole: z.number(),
  tokens: z.number(),
  firstTokenP50Ms: z.number(),
  firstTokenP95Ms: z.number(),
});

type LoadFigures = z.infer<typeof loadSchema>;

const wait = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

function loadSettings(url: string, rate: number, maxTokens: number): object {
  return {
    kind: 'load',
    entryUrls: [url],
    seconds: LOAD_S,
    streams: [
      {
        organisation: 'hotel-riva',
        key: keyOf('hotel-riva'),
        requestClass: 'recipe-costing',
        target: { model: 'chef-small' },
        requestsPerSecond: rate,
        promptTokens: 100,
        maxTokens,
      },
    ],
  };
}

async function withFleet<T>(
  basePort: number,
  instances: number,
  body: (fleet: ProcessFleet) => Promise<T>,
): Promise<T> {
  const fleet = new ProcessFleet(basePort);
  try {
    await fleet.start({
      instances,
      engines: ENGINES,
      services: 1,
      engineModel: FAST_ENGINE,
    });
    const deployment = demoDeployment({
      engines: Array.from({ length: ENGINES }, (_, i) => fleet.engineUrl(i)),
      services: [fleet.serviceUrl(0)],
    });
    const backendServers = deployment.backendServers.map(server => ({
      ...server,
      capacity: FAST_ENGINE.maxBatch,
    }));
    await fleet.apply({ ...deployment, backendServers });
    await wait(SETTLE_MS);
    return await body(fleet);
  } finally {
    fleet.stop();
  }
}

interface IdleCost {
  readonly coreShare: number;
  readonly residentBytes: number;
}

/** Measures what instances use without calls, that is for control-plane work only. */
function measureIdleCost(instances: number): Promise<IdleCost> {
  return withFleet(21_000, instances, async fleet => {
    const sum = (): { cpuMs: number; residentBytes: number } =>
      fleet.instancePids.map(processUsage).reduce((total, usage) => ({
        cpuMs: total.cpuMs + usage.cpuMs,
        residentBytes: total.residentBytes + usage.residentBytes,
      }));
    await wait(IDLE_SETTLE_MS);
    const before = sum();
    await wait(LOAD_S * MS_PER_SECOND);
    const after = sum();
    return {
      coreShare:
        (after.cpuMs - before.cpuMs) / (LOAD_S * MS_PER_SECOND * instances),
      residentBytes: after.residentBytes / instances,
    };
  });
}

/** Measures processor time and memory of idle instances in separate processes, by fleet size. */
export async function measureIdle(): Promise<readonly Slope[]> {
  const memory: Point[] = [];
  const cpu = await fitSlope(
    {
      name: 'idle instance',
      sizeUnit: 'instances',
      valueUnit: 'share of a core',
    },
    FLEET_SIZES,
    1,
    async size => {
      const { coreShare, residentBytes } = await measureIdleCost(size);
      const value = residentBytes / MIB;
      memory.push({ size, value, min: value, max: value });
      return coreShare;
    },
  );
  const title = {
    name: 'idle instance',
    sizeUnit: 'instances',
    valueUnit: 'MiB resident',
  };
  return [cpu, fitLine(title, memory)];
}

interface DataPathPoint {
  readonly cpuMs: number;
  readonly figures: LoadFigures;
}

async function measureUnderLoad(
  fleet: ProcessFleet,
  rate: number,
  maxTokens: number,
): Promise<DataPathPoint> {
  const [pid = 0] = fleet.instancePids;
  const before = processUsage(pid);
  const figures = loadSchema.parse(
    await fleet.load(loadSettings(fleet.callerUrl(0), rate, maxTokens)),
  );
  return { cpuMs: processUsage(pid).cpuMs - before.cpuMs, figures };
}

/** Result of the data-path measurement. */
export interface DataPathResult {
  readonly slopes: readonly Slope[];
  readonly figures: Readonly<Record<string, number>>;
}

/** Measures processor time of one instance per request and per streamed token. */
export function measureDataPath(): Promise<DataPathResult> {
  return withFleet(22_000, 1, async fleet => {
    // Warms up the data path, so that JIT compilation is not measured.
    await measureUnderLoad(fleet, WARM_UP_RATE_PER_S, SHORT_MAX_TOKENS);
    const short: Point[] = [];
    for (const rate of SHORT_RATES_PER_S) {
      const { cpuMs, figures } = await measureUnderLoad(
        fleet,
        rate,
        SHORT_MAX_TOKENS,
      );
      short.push(costPoint(figures.calls, cpuMs));
    }
    const long: Point[] = [];
    for (const rate of LONG_RATES_PER_S) {
      const { cpuMs, figures } = await measureUnderLoad(
        fleet,
        rate,
        LONG_MAX_TOKENS,
      );
      long.push(costPoint(figures.tokens, cpuMs));
    }
    const perRequest = fitLine(
      {
        name: 'instance, answers of 4 to 8 tokens',
        sizeUnit: 'requests',
        valueUnit: 'µs of processor',
      },
      short,
    );
    const perToken = fitLine(
      {
        name: 'instance, answers of about 90 tokens',
        sizeUnit: 'tokens',
        valueUnit: 'µs of processor',
      },
      long,
    );
    return {
      slopes: [perRequest, perToken],
      figures: await measureOverhead(fleet),
    };
  });
}

const costPoint = (size: number, cpuMs: number): Point => ({
  size,
  value: cpuMs * MICROS_PER_MS,
  min: cpuMs * MICROS_PER_MS,
  max: cpuMs * MICROS_PER_MS,
});

/** Compares the time to the first token through an instance with that of a direct call. */
async function measureOverhead(
  fleet: ProcessFleet,
): Promise<Readonly<Record<string, number>>> {
  const runAgainst = async (url: string): Promise<LoadFigures> =>
    loadSchema.parse(
      await fleet.load(loadSettings(url, DIRECT_RATE_PER_S, LONG_MAX_TOKENS)),
    );
  const direct = await runAgainst(fleet.engineUrl(0));
  const through = await runAgainst(fleet.callerUrl(0));
  return {
    directFirstTokenP50Ms: direct.firstTokenP50Ms,
    throughFirstTokenP50Ms: through.firstTokenP50Ms,
    firstTokenRatio: through.firstTokenP50Ms / direct.firstTokenP50Ms,
  };
}
