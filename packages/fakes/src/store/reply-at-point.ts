import { applyPointFault } from './apply-point-fault.js';
import { sendJson } from './send-json.js';
import type { StoreCall } from './store-call.js';
import type { StorePoint } from './store-point.js';

/**
 * Answers with JSON after the fault set at this point, if any, has taken effect. The answer is computed after the fault, so that
 * a freed or rewritten piece shows in it.
 */
export function replyAtPoint(
  call: StoreCall,
  point: StorePoint,
  computeAnswer: () => { readonly status: number; readonly value: unknown },
): void {
  const fault = applyPointFault(call, point);
  if (fault === 'cut' || fault === 'die' || fault === 'silent') return;
  const { server } = call.context;
  if (fault === 'error') {
    sendJson(server, call.response, 500, { error: 'injected' });
    return;
  }
  const { status, value } = computeAnswer();
  const text = JSON.stringify(value);
  if (fault === 'truncate' || fault === 'corrupt') {
    const damaged = fault === 'truncate' ? text.slice(0, text.length / 2) : text.replace(/\d/g, '8');
    if (!server.isSilent(call.response)) call.response.writeHead(status).end(damaged);
    return;
  }
  const other = typeof value === 'object' ? { ...value, weight_version: 'injected' } : value;
  sendJson(server, call.response, status, fault === 'wrong-version' ? other : value);
}
