import type { FaultName } from './fault-name.js';

/** Faults that need a node in a process of its own. */
export const CHILD_FAULTS: ReadonlySet<FaultName> = new Set(['node-killed', 'node-paused']);
