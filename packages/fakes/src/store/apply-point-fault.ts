import type { PointFault } from './point-fault.js';
import type { StoreCall } from './store-call.js';
import type { StorePoint } from './store-point.js';

/** Carries out the part of a point's fault that does not depend on the answer, and returns the fault. */
export function applyPointFault(call: StoreCall, point: StorePoint): PointFault | undefined {
  const { context, key } = call;
  const fault = context.getFaults().points[point];
  if (fault === 'cut') call.response.destroy();
  if (fault === 'die') context.setFaults({ dead: true });
  if (fault === 'free') context.table.dropPiece(key);
  if (fault === 'rewrite') context.table.replaceContent(key);
  return fault;
}
