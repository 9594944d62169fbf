/** Measurements of the slopes from which `docs/CAPACITY.md` is worked out. */
export { fitLine } from './fit-line.js';
export { measureCapacity } from './measure-capacity.js';
