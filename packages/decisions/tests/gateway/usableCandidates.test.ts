import fc from 'fast-check';
import { describe } from '@jujubecroft/testing';

import type { BackendLoad } from '../../src/gateway/BackendLoad.js';
import type { GatewayBoard } from '../../src/gateway/GatewayBoard.js';
import { candidatesOf } from '../../src/gateway/GatewayBoard.js';
import {
  isAnswerLost,
  usableCandidates,
} from '../../src/gateway/usableCandidates.js';
import type { GatewayRequest } from '../../src/index.js';
import {
  gatewayFixture,
  PLAIN,
  replica,
  route,
  SERVICE,
} from './helpers/gatewayFixture.js';

/** What happens to one replica before candidates are selected. */
const history = fc.record({
  isPlain: fc.boolean(),
  leaving: fc.boolean(),
  isRemoved: fc.boolean(),
  isPaused: fc.boolean(),
  limitPerS: fc.constantFrom(null, 0, 100),
  sent: fc.integer({ min: 0, max: 6 }),
  answered: fc.integer({ min: 0, max: 6 }),
  failed: fc.integer({ min: 0, max: 4 }),
  waitMs: fc.integer({ min: 0, max: 1500 }),
});

type History = typeof history extends fc.Arbitrary<infer Value> ? Value : never;

/** The selection as it is specified: one filter for each reason. */
function expectedCandidates(
  board: GatewayBoard,
  request: GatewayRequest,
): readonly BackendLoad[] {
  const nowMs = board.clock();
  const isSilent = (load: BackendLoad): boolean =>
    [...load.attempts].some(
      ({ sentMs, firstByteMs, predictedMs }) =>
        nowMs - Math.max(load.lastByteMs, sentMs) >
        (firstByteMs === null ? Math.max(700, 2.5 * predictedMs) : 700),
    );
  const lostAnswers = (load: BackendLoad): number =>
    [...load.attempts].filter(attempt => isAnswerLost(board, attempt)).length;
  const open = [...board.backends.values()]
    .filter(({ replica: { service } }) => service === request.service.id)
    .filter(({ replica: { leaving } }) => !leaving)
    .filter(({ replica: { id } }) => board.replicas.find(id) !== undefined)
    .filter(load => load.inFlight < 0.8 * request.service.maxConnections)
    .filter(load => !board.pauses.isPaused(load.replica))
    .filter(load => board.limits.mayTake(load, request.priority));
  const responsive = open.filter(
    load => !isSilent(load) && lostAnswers(load) < 2,
  );
  const having = (verdict: string): readonly BackendLoad[] =>
    responsive.filter(({ health }) => health.verdict === verdict);
  const [good, probes] = [having('good'), having('probe')];
  if (probes.length > 0 && request.route.kind === 'safe') {
    return [...good, ...probes];
  }
  const choices = [good, probes, responsive];
  return choices.find(({ length }) => length > 0) ?? open;
}

describe('usableCandidates', ({ it }) => {
  it('selects the same replicas in one pass as one filter for each reason', t => {
    fc.assert(
      fc.property(
        fc.array(history, { maxLength: 12 }),
        fc.boolean(),
        fc.integer({ min: 0, max: 2000 }),
        (histories: readonly History[], isSafe, laterMs) => {
          const of = route({ kind: isSafe ? 'safe' : 'streaming' });
          const entries = histories.map(({ isPlain, leaving }, index) =>
            replica(`s-${index}`, {
              leaving,
              service: isPlain ? PLAIN : SERVICE,
            }),
          );
          const fixture = gatewayFixture([of], entries);
          const { board, router, clock, request } = fixture;
          histories.forEach((past, index) => {
            const load = [...board.backends.values()][index];
            if (!load) {
              throw new Error('the replica has no load');
            }
            board.limits.onAnswer(load, {
              perS: past.limitPerS,
              atMs: clock.now(),
            });
            const attempts = Array.from({ length: past.sent }, () => {
              const placed = {
                load,
                unreadTokens: 0,
                tokensAhead: 0,
                fetch: null,
                isDeferred: false,
                predictedMs: 100,
                ownReadMs: 0,
                predictedWholeMs: 200,
                cost: 0,
              };
              clock.advance(1);
              return router.beginAttempt(request(of), placed, 1);
            });
            attempts.slice(-past.answered || attempts.length).forEach(entry => {
              router.onBytes(entry);
            });
            Array.from({ length: past.failed }, () => {
              load.health.onFailure(0);
            });
            clock.advance(past.waitMs);
            if (past.isPaused) {
              router.onPauseRequested(
                { load } as Parameters<typeof router.onPauseRequested>[0],
                1000,
              );
            }
          });
          const kept = entries.filter((_, index) => {
            const past = histories[index];
            return past?.isRemoved === false;
          });
          board.replicas.applySnapshot(
            kept.map(entry => ({
              id: entry.id,
              rowVersion: 1,
              replica: entry,
            })),
            2,
            0,
          );
          router.syncReplicas();
          clock.advance(laterMs);
          const asked = request(of);
          const candidates = candidatesOf(board, asked.service.id);
          const usable = usableCandidates(board, asked, candidates);
          t.deepEqual(
            usable.map(load => load.replica.id),
            expectedCandidates(board, asked).map(load => load.replica.id),
          );
        },
      ),
      { seed: 20_263, numRuns: 300 },
    );
  });
});
