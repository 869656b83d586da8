import { describe } from '@jujubecroft/testing';
import { engineModelSchema } from '@jujubecroft/settings';

import type { SequenceRequest } from '../src/index.js';
import { EngineModel } from '../src/index.js';

const engineWith = (overrides: Readonly<Record<string, number>>): EngineModel =>
  new EngineModel(engineModelSchema.parse(overrides));

const sequence = (
  id: string,
  overrides: Partial<SequenceRequest> = {},
): SequenceRequest => ({
  id,
  promptTokens: 10,
  prefixHash: 0,
  prefixTokens: 0,
  outputTokens: 3,
  priority: 1,
  ...overrides,
});

/**
 * Runs the engine until it is idle; returns the ids that finished in each step.
 */
function runAll(engine: EngineModel): string[][] {
  const steps: string[][] = [];
  while (!engine.idle) {
    steps.push([...engine.step().finished]);
  }
  return steps;
}

describe('EngineModel', ({ it }) => {
  it('generates each submitted sequence to its full length', t => {
    const engine = engineWith({});
    ['a', 'b', 'c'].forEach(id => {
      engine.submit(sequence(id));
    });
    t.deepEqual(runAll(engine).flat().sort(), ['a', 'b', 'c']);
    t.is(engine.generatedTokens, 9);
  });

  it('admits waiting sequences in order of priority', t => {
    const engine = engineWith({ maxBatch: 1 });
    engine.submit(sequence('first'));
    engine.submit(sequence('low', { priority: 4 }));
    engine.submit(sequence('high', { priority: 1 }));
    t.deepEqual(runAll(engine).flat(), ['first', 'high', 'low']);
  });

  it('takes longer per step for larger batches and in proportion to slowdown', t => {
    const alone = engineWith({});
    alone.submit(sequence('a'));
    alone.step();
    const base = alone.step().durationMs;
    const shared = engineWith({});
    Array.from({ length: 50 }, (_, i) => `s${i}`).forEach(id => {
      shared.submit(sequence(id));
    });
    shared.step();
    t.true(shared.step().durationMs > base);
    alone.slowdown = 4;
    t.is(alone.step().durationMs, base * 4);
  });

  it('skips the prefill of a cached prefix until the prefix is evicted', t => {
    const engine = engineWith({ prefixCacheTokens: 100, stepTokenBudget: 50 });
    const steps = (prefixHash: number): number => {
      engine.submit(
        sequence(`sequence-${engine.generatedTokens}`, {
          promptTokens: 100,
          prefixTokens: 100,
          prefixHash,
          outputTokens: 1,
        }),
      );
      return runAll(engine).length;
    };
    const cold = steps(1);
    t.true(steps(1) < cold);
    steps(2);
    t.is(steps(1), cold, 'evicted by the second prefix');
  });

  it('preempts the sequence of lowest priority when KV memory is full', t => {
    const engine = engineWith({ kvTokens: 30 });
    engine.submit(sequence('high', { outputTokens: 12 }));
    engine.submit(sequence('low', { priority: 4, outputTokens: 12 }));
    t.deepEqual(runAll(engine).flat(), ['high', 'low']);
  });

  it('drops cancelled sequences, whether running or waiting', t => {
    const engine = engineWith({ maxBatch: 1 });
    engine.submit(sequence('running'));
    engine.submit(sequence('waiting'));
    engine.step();
    engine.cancel('running');
    engine.cancel('waiting');
    t.true(engine.idle);
    t.deepEqual([engine.running, engine.waiting], [0, 0]);
  });
});
