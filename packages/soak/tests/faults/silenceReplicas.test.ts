import { describe } from '@jujubecroft/testing';

import { silenceReplicas } from '../../src/faults/silenceReplicas.js';
import { Silence } from '../../src/processes/Silence.js';
import type { SoakReplicaSlot } from '../../src/SoakFleet.js';
import { SERVICES, serviceOf } from '../../src/SoakFleet.js';

describe('silenceReplicas', ({ it }) => {
  it('silences one, half or all replicas of one service for up to 1.5 s', async t => {
    const [service = ''] = SERVICES;
    const counts = await Promise.all(
      Array.from({ length: 20 }, async (_, target) => {
        const silent: { readonly index: number; readonly forMs: number }[] = [];
        const slots = Array.from({ length: 8 }, (_slot, index) => ({
          index,
          program: {
            incarnation: 1,
            sendMessage: ({ forMs }: { readonly forMs: number }) => {
              silent.push({ index, forMs });
            },
          },
        })) as unknown as readonly SoakReplicaSlot[];
        await silenceReplicas(
          { kind: 'replica-silence', atMs: 0, forMs: 1, target, strength: 0 },
          service,
          slots,
        );
        t.true(silent.every(({ index }) => serviceOf(index, 1) === service));
        t.true(silent.every(({ forMs }) => forMs >= 500 && forMs <= 1500));
        return silent.length;
      }),
    );
    t.deepEqual([...new Set(counts)].sort(), [1, 2, 4]);
  });

  it('holds back what a replica writes until the latest silence ends', async t => {
    const silence = new Silence();
    await silence.ended();
    silence.begin(100);
    const startMs = performance.now();
    const ended = silence.ended();
    silence.begin(200);
    await ended;
    t.true(performance.now() - startMs >= 199);
  });
});
