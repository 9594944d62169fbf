import { once } from 'node:events';
import { computeAnswerToken } from './compute-answer-token.js';
import type { StreamFaultCall } from './stream-fault-call.js';
import type { StreamFault } from './stream-fault.js';

function sendCrossed({ state, run, token, send }: StreamFaultCall): void {
  const other = [...state.boot.runs].find((candidate) => candidate !== run)?.request;
  const text = computeAnswerToken(other?.model ?? 'other', other?.prompt ?? 'other', token.offset);
  send(JSON.stringify({ ...token, id: other?.request_id ?? 'other-request', text }));
}

/** Handlers of the stream faults; true when the stream has ended. */
export const STREAM_FAULT_HANDLERS: Readonly<
  Record<StreamFault['kind'], (call: StreamFaultCall) => boolean | Promise<boolean>>
> = {
  silent: async ({ run }) => {
    if (!run.stopper.signal.aborted) await once(run.stopper.signal, 'abort');
    return true;
  },
  crossed: (call) => {
    sendCrossed(call);
    return false;
  },
  duplicated: ({ token, send }) => {
    send(JSON.stringify(token));
    send(JSON.stringify(token));
    return false;
  },
  skipped: () => false,
  truncated: ({ response }) => {
    response.end();
    return true;
  },
  'early-done': ({ response, send }) => {
    send('[DONE]');
    response.end();
    return true;
  },
  cut: ({ response }) => {
    // The good tokens are flushed first, so that the number that arrives is fixed.
    response.socket?.destroySoon();
    return true;
  },
  'wrong-version': ({ token, send }) => {
    send(JSON.stringify({ ...token, weight_version: 'injected' }));
    return false;
  },
};
