import { ORDER_STAGES, type BackendEntry } from '@laburnumshift/forward-types';

/** Tells whether an engine is marked for an order to load weights that it does not have yet; such an engine gets no calls. */
export function hasPendingOrder({ orderMark: mark, versions }: BackendEntry): boolean {
  return (
    mark !== undefined && mark.stage !== ORDER_STAGES.done && mark.version > (versions.get(mark.model) ?? 0)
  );
}
