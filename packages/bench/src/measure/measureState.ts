import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Membership, OrganisationLimits } from '@jujubecroft/decisions';
import type { ListedInstance } from '@jujubecroft/stores';
import type {
  BackendServerId,
  FailureDomainId,
  InstanceId,
  ModelId,
  Organisation,
  OrganisationId,
} from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';

import { fitSlope } from './fitSlope.js';
import { LoadedRouter } from './LoadedRouter.js';
import type { Slope } from './Measurement.js';

const REPEATS = 3;
const ORGANISATION_COUNTS = [128, 255, 510, 1020];
const MEMBER_COUNTS = [93, 185, 370, 740];
const SERVER_COUNTS = [75, 150, 300, 600];
const FEW_REPLICAS = 4;
const QUEUE_LENGTHS = [1250, 2500, 5000, 10_000];

/** Returns a function that runs garbage collection, without a flag on the command line. */
function garbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}

/** Heap that a value retains, in bytes. */
function heapBytesOf(build: () => unknown): number {
  const collect = garbageCollector();
  collect();
  const before = process.memoryUsage().heapUsed;
  const retained = build();
  collect();
  const after = process.memoryUsage().heapUsed;
  // Uses the value after the second reading, so it is not collected earlier.
  return retained === undefined ? 0 : after - before;
}

const organisation = (index: number): Organisation => ({
  kind: 'organisation',
  id: brand<OrganisationId>(`organisation-${index}`),
  keySha256: String(index).padStart(64, '0'),
  weight: 1,
  limits: { requestsPerSecond: 100, tokensPerSecond: 10_000 },
});

function buildLimits(count: number): unknown {
  const limits = new OrganisationLimits();
  limits.configure(
    Array.from({ length: count }, (_, index) => organisation(index)),
    0,
  );
  return limits;
}

const listed = (index: number): ListedInstance => ({
  id: brand<InstanceId>(`entry-${index}`),
  failureDomain: brand<FailureDomainId>(`domain-${index % 6}`),
  callerAddress: `http://10.0.0.${index}:8080`,
  peerAddress: `10.0.0.${index}:7400`,
  state: 'live',
});

function buildMembers(count: number): unknown {
  const membership = new Membership(
    {
      ...listed(0),
      instance: brand<InstanceId>('self'),
    },
    () => 0,
    createRandom(1),
  );
  const list = Array.from({ length: count }, (_, index) => listed(index));
  membership.onList(list);
  list.forEach(entry => {
    membership.onMessage({
      ...entry,
      instance: entry.id,
      incarnation: 1,
      leaving: false,
      revision: 1,
      inFlight: 1,
      facts: [],
    });
  });
  return membership;
}

const buildServers = (count: number): unknown =>
  Array.from({ length: count }, (_, index) => ({
    kind: 'backendServer',
    id: brand<BackendServerId>(`engine-${index}`),
    url: `http://10.1.0.${index}:8000`,
    failureDomain: brand<FailureDomainId>(`domain-${index % 6}`),
    models: [brand<ModelId>(`model-${index % 30}`)],
    services: [],
    capacity: 85,
    checksFencing: true,
    leaving: false,
  }));

/** Measures the heap of each kind of state, by number of entries. */
export async function measureState(): Promise<readonly Slope[]> {
  const bytes = { valueUnit: 'bytes' };
  return [
    await fitSlope(
      { ...bytes, name: 'limits state', sizeUnit: 'organisations' },
      ORGANISATION_COUNTS,
      REPEATS,
      size => heapBytesOf(() => buildLimits(size)),
    ),
    await fitSlope(
      { ...bytes, name: 'membership state', sizeUnit: 'instances' },
      MEMBER_COUNTS,
      REPEATS,
      size => heapBytesOf(() => buildMembers(size)),
    ),
    await fitSlope(
      { ...bytes, name: 'declared servers', sizeUnit: 'replicas' },
      SERVER_COUNTS,
      REPEATS,
      size => heapBytesOf(() => buildServers(size)),
    ),
    await fitSlope(
      { ...bytes, name: 'queued requests', sizeUnit: 'requests' },
      QUEUE_LENGTHS,
      REPEATS,
      size => heapBytesOf(() => new LoadedRouter(FEW_REPLICAS, size)),
    ),
  ];
}
