import type { ForwardCall } from '@laburnumshift/forward-types';
import type { CallTrait } from './call-trait.js';
import { listCallTraits } from './list-call-traits.js';
import type { SuspectCall } from './suspect-call.js';

/** Wraps a call for the quarantine. */
export function createSuspectCall(call: ForwardCall, account: string | undefined, body: Buffer): SuspectCall {
  let traits: readonly CallTrait[] | undefined;
  return {
    callId: call.id,
    hasPrompt: (call.prompt?.pieces.length ?? 0) > 0,
    listTraits: () => (traits ??= listCallTraits(call, account, body)),
  };
}
