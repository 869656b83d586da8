import { describe } from '@jujubecroft/testing';
import type {
  PromptMetadata,
  RoutedService,
  RouteId,
} from '@jujubecroft/types';
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
const prompt = (maxOutputTokens: number): PromptMetadata => ({
  promptTokens: 100,
  maxOutputTokens,
  parts: [],
  expectedOutputTokens: null,
});

// Guards against a default length that is replaced too slowly. Price checks
// have five events, but an instance that had just started assumed forty and
// adjusted by 3 % per answer. In the two seconds after a restart of four of six
// instances, 30 of 47 price checks were rejected with a wait of 0.2 s and a
// predicted end after three seconds.
describe('AnswerLengths', ({ it }) => {
  it('replaces the default length with the mean of the first answers', t => {
    const lengths = new AnswerLengths();
    lengths.onEnded(CHECK, 5);
    t.is(lengths.predict(CHECK, null, service), 5);
    lengths.onEnded(CHECK, 3);
    t.is(lengths.predict(CHECK, null, service), 4);
  });

  it('keeps following the newest answers', t => {
    const lengths = new AnswerLengths();
    Array.from({ length: 1000 }).forEach(() => {
      lengths.onEnded(CHECK, 5);
    });
    Array.from({ length: 100 }).forEach(() => {
      lengths.onEnded(CHECK, 20);
    });
    t.true(lengths.meanOrDefault(CHECK) > 19);
  });

  it('uses lengths reported by other instances', t => {
    const lengths = new AnswerLengths();
    lengths.onPeers([
      { route: CHECK, pieces: 4, answers: 30 },
      { route: CHECK, pieces: 8, answers: 10 },
      { route: brand<RouteId>('other'), pieces: 90, answers: 30 },
    ]);
    t.is(lengths.meanOrDefault(CHECK), 5);
    t.deepEqual(lengths.ownLength(CHECK), {
      route: CHECK,
      pieces: 0,
      answers: 0,
    });
  });

  it('caps the prediction at the output limit of the caller', t => {
    const lengths = new AnswerLengths();
    t.is(lengths.predict(CHECK, prompt(22), service), 5);
    t.is(lengths.predict(CHECK, prompt(0), service), 40);
  });
});
