import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './random-source.js';

/** Creates a stream of random numbers; equal seeds give equal streams. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  const pickUniform = (): number => uniformFloat64(generator);
  return {
    pickUniform,
    pickInteger: (from, to) => from + Math.floor(pickUniform() * (to - from + 1)),
    pickExponential: (mean) => -mean * Math.log(1 - pickUniform()),
    pickLogNormal: (median, sigma) => {
      const radius = Math.sqrt(-2 * Math.log(1 - pickUniform()));
      return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * pickUniform()));
    },
  };
}
