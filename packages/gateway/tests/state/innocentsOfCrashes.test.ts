import type { RequestFingerprint } from '@jujubecroft/types';
import { brand, createRandom } from '@jujubecroft/types';
import { describe } from '@jujubecroft/testing';

import type { RequestOutcome } from '../helpers/VirtualFleet.js';
import { VirtualFleet } from '../helpers/VirtualFleet.js';

const REPLICAS = 12;
const REQUESTS = 600;
const EVERY_MS = 20;
/** Part of the requests that all ask for the same. */
const POPULAR_SHARE = 0.3;
const POPULAR = brand<RequestFingerprint>('00c0ffee00c0ffee');
const RETURN_MS = 50;

/** Replicas that crash at one moment, by the number of the request before it. */
const CRASHES: readonly (readonly [request: number, replicas: number])[] = [
  [100, 6],
  [250, 12],
  [420, 6],
  [430, 3],
  [440, 3],
];

/** Lets replicas crash under normal traffic; returns answers of requests that came. */
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

  const ask = async (content: RequestFingerprint, tries: number) => {
    const index = Math.floor(random() * instances);
    const asked: RequestOutcome = await fleet.sendRequest(index, content);
    if (asked.kind === 'refused') {
      codes.push(asked.code);
      return;
    }
    seen.add(asked.replica);
    const { kind } = await asked.ended;
    codes.push(kind);
    if (kind !== 'answered' && tries > 1) {
      fleet.time.after(RETURN_MS, () => void ask(content, tries - 1));
    }
  };
  for (let request = 0; request < REQUESTS; request += 1) {
    const own = brand<RequestFingerprint>(
      `ff${request.toString(16).padStart(14, '0')}`,
    );
    void ask(random() < POPULAR_SHARE ? POPULAR : own, 3);
    const count = CRASHES.find(([at]) => at === request)?.[1] ?? 0;
    [...seen]
      .map(id => brand<Parameters<VirtualFleet['crash']>[0]>(id))
      .filter(id => !fleet.hasCrashed(id))
      .slice(0, count)
      .forEach(id => fleet.crash(id));
    await fleet.time.run(EVERY_MS);
  }
  await fleet.time.run(1000);
  return codes;
}

// Guards against refusing normal traffic for crashes that it has nothing to do with: half
// of the replicas and then all of them crash under it at one moment, and some follow soon.
describe('what is lost with several replicas is not held against it', ({
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
