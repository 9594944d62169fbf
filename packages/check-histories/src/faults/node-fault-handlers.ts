import type { FaultHandler } from './fault-handler.js';

/** Faults of nodes in processes of their own, and requests that crash engines. */
export const NODE_FAULT_HANDLERS = {
  'node-killed': async ({ fleet }) => {
    await fleet.killChild();
    return () => fleet.reviveChild();
  },
  'node-paused': ({ fleet }) => fleet.pauseChild(),
  'crashing-request': ({ sendCrashingRequest }) => {
    sendCrashingRequest();
    return () => undefined;
  },
} satisfies Readonly<Record<string, FaultHandler>>;
