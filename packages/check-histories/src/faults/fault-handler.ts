import type { FaultContext } from './fault-context.js';

/** Injects a fault; the returned function takes it back. */
export type FaultHandler = (context: FaultContext) => (() => unknown) | Promise<() => unknown>;
