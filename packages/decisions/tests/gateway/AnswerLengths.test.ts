import { describe } from '@jujubecroft/testing';
import type { PromptFacts, RoutedService, RouteId } from '@jujubecroft/types';
import { brand } from '@jujubecroft/types';

import { AnswerLengths } from '../../src/gateway/AnswerLengths.js';
import { SERVICE } from './helpers/gatewayFixture.js';

const CHECK = brand<RouteId>('check');
const service: RoutedService = {
  id: SERVICE,
  maxConnections: 10,
  engine: {
    slots: 4,
    kvCapacityTokens: 1000,
    tokensPerEvent: 5,
    transfer: null,
  },
};
const prompt = (maxOutputTokens: number): PromptFacts => ({
  promptTokens: 100,
  maxOutputTokens,
  parts: [],
  expectedOutputTokens: null,
});

// Price checks have five events. Instances that had just started took forty for
// granted and moved by three in a hundred with each answer: in the two seconds after
// the restart of four of six instances, 30 of 47 price checks were refused with
// a wait of 0.2 s and an end predicted after three.
describe('AnswerLengths', ({ it }) => {
  it('takes the first answers for what they are', t => {
    const lengths = new AnswerLengths();
    lengths.onEnded(CHECK, 5);
    t.is(lengths.expect(CHECK, null, service), 5);
    lengths.onEnded(CHECK, 3);
    t.is(lengths.expect(CHECK, null, service), 4);
  });

  it('goes on following the newest answers', t => {
    const lengths = new AnswerLengths();
    Array.from({ length: 1000 }).forEach(() => {
      lengths.onEnded(CHECK, 5);
    });
    Array.from({ length: 100 }).forEach(() => {
      lengths.onEnded(CHECK, 20);
    });
    t.true(lengths.usual(CHECK) > 19);
  });

  it('knows from others what it has not seen itself', t => {
    const lengths = new AnswerLengths();
    lengths.onPeers([
      { route: CHECK, pieces: 4, answers: 30 },
      { route: CHECK, pieces: 8, answers: 10 },
      { route: brand<RouteId>('other'), pieces: 90, answers: 30 },
    ]);
    t.is(lengths.usual(CHECK), 5);
    t.deepEqual(lengths.seen(CHECK), { route: CHECK, pieces: 0, answers: 0 });
  });

  it('expects no more than the caller allows', t => {
    const lengths = new AnswerLengths();
    t.is(lengths.expect(CHECK, prompt(22), service), 5);
    t.is(lengths.expect(CHECK, prompt(0), service), 40);
  });
});
