import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * Creates a seeded generator of uniformly distributed numbers.
 *
 * @param seed - equal seeds produce equal sequences
 * @returns a function that returns the next number in [0, 1)
 */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
