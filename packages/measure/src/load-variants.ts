import type { SimulatedFault } from './simulated-fault.js';

/** Loads and faults that a placement scenario runs, by name. */
export const LOAD_VARIANTS: Readonly<
  Record<string, { readonly load: number; readonly fault?: SimulatedFault | undefined }>
> = {
  steady: { load: 1 },
  half: { load: 0.5 },
  twice: { load: 2 },
  'store-dead': { load: 1, fault: 'store-dead' },
  'link-tenth': { load: 1, fault: 'link-tenth' },
  'half-restarted': { load: 1, fault: 'half-restarted' },
};
