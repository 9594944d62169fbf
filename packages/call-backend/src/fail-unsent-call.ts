import type { OutgoingCall } from './outgoing-call.js';
import type { SendHandlers } from './send-handlers.js';

/** Fails a call of which nothing can be sent, after the present turn of the event loop unless it is cancelled before. */
export function failUnsentCall(handlers: Pick<SendHandlers, 'onFailure'>, reason: string): OutgoingCall {
  let isPending = true;
  queueMicrotask(() => {
    if (isPending) handlers.onFailure({ type: 'not-sent', reason });
  });
  const finishCall = (): void => {
    isPending = false;
  };
  return {
    isSent: () => false,
    cancel: finishCall,
    discard: finishCall,
    pause: () => undefined,
    resume: () => undefined,
  };
}
