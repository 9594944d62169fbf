import type { ClientLimits } from './client-limits.js';

/**
 * Fraction of the machine's descriptors for the host's own needs: its files and listeners, readiness, metrics, the store and the
 * other hosts.
 */
const RESERVED_DESCRIPTOR_RATIO = 1 / 16;
/** Minimum of such descriptors: a host without callers has about 30 open. */
const MIN_RESERVED_DESCRIPTORS = 48;
/** Fraction of the machine's memory for connections and calls; the program takes half, and bodies and answers have budgets of their own. */
const CLIENT_MEMORY_RATIO = 0.35;

/** Derives the limits from the machine's. Values that are `undefined` are not stated by the settings. */
export function computeClientLimits(machine: {
  readonly memoryBytes: number;
  readonly maxDescriptors: number | undefined;
  readonly reservedDescriptors: number | undefined;
  readonly clientMemoryBytes: number | undefined;
}): ClientLimits {
  const { memoryBytes, maxDescriptors = Infinity } = machine;
  const reserved =
    machine.reservedDescriptors ??
    Math.max(MIN_RESERVED_DESCRIPTORS, Math.ceil(maxDescriptors * RESERVED_DESCRIPTOR_RATIO));
  return {
    maxDescriptors: maxDescriptors === Infinity ? Infinity : Math.max(1, maxDescriptors - reserved),
    maxBytes: machine.clientMemoryBytes ?? memoryBytes * CLIENT_MEMORY_RATIO,
  };
}
