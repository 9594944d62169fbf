/** Measurements of the slopes from which `docs/CAPACITY.md` is worked out. */
export { computeLine } from './compute-line.js';
export { measureCapacity } from './measure-capacity.js';
export { computeSums } from './compute-sums.js';
