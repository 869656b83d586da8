import type { RequestFingerprint } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { RequestOutcome } from '../helpers/VirtualFleet.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';

const REPLICAS = 12;
const REQUESTS = 600;
const REQUEST_INTERVAL_MS = 20;
/** Share of requests that have the same fingerprint. */
const POPULAR_SHARE = 0.3;
const POPULAR = brand<RequestFingerprint>('00c0ffee00c0ffee');
/** Time after which a caller repeats a failed request. */
const RETRY_DELAY_MS = 50;

/**
 * Number of replicas that crash at the same time, by the number of the preceding
 * request.
 */
const CRASHES: readonly (readonly [request: number, replicas: number])[] = [
  [100, 6],
  [250, 12],
  [420, 6],
  [430, 3],
  [440, 3],
];

/** Crashes replicas under normal traffic; returns the result of each request. */
async function crashUnder(instances: number): Promise<readonly string[]> {
  const fleet = new VirtualFleet({
    instances,
    replicas: REPLICAS,
    loss: 0.02,
    meanStallMs: 0,
    meanStallIntervalMs: 0,
    freshWithinMs: 3000,
    answerMs: 300,
    seed: 1,
  });
  const random = createRandom(1);
  const codes: string[] = [];
  const seen = new Set<string>();
  await fleet.start();

  const send = async (fingerprint: RequestFingerprint, tries: number) => {
    const index = Math.floor(random() * instances);
    const outcome: RequestOutcome = await fleet.sendRequest(index, fingerprint);
    if (outcome.kind === 'refused') {
      codes.push(outcome.code);
      return;
    }
    seen.add(outcome.replica);
    const { kind } = await outcome.ended;
    codes.push(kind);
    if (kind !== 'answered' && tries > 1) {
      fleet.time.after(RETRY_DELAY_MS, () => void send(fingerprint, tries - 1));
    }
  };
  for (let request = 0; request < REQUESTS; request += 1) {
    const unique = brand<RequestFingerprint>(
      `ff${request.toString(16).padStart(14, '0')}`,
    );
    void send(random() < POPULAR_SHARE ? POPULAR : unique, 3);
    const count = CRASHES.find(([at]) => at === request)?.[1] ?? 0;
    [...seen]
      .map(id => brand<Parameters<VirtualFleet['crash']>[0]>(id))
      .filter(id => !fleet.hasCrashed(id))
      .slice(0, count)
      .forEach(id => fleet.crash(id));
    await fleet.time.run(REQUEST_INTERVAL_MS);
  }
  await fleet.time.run(1000);
  return codes;
}

// Guards against refusing normal requests because of crashes that they didn't cause:
// half of the replicas, and later all of them, crash at the same time while they serve
// requests.
describe('requests lost in crashes that they did not cause are not refused', ({
  itAlone,
}) => {
  [6, 60].forEach(instances => {
    itAlone(`at ${instances} instances`, async t => {
      const codes = await crashUnder(instances);
      t.true(codes.filter(code => code === 'lost').length > 20);
      t.is(codes.filter(code => code === 'crashesBackends').length, 0);
    });
  });
});
