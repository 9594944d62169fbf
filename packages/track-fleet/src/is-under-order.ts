import { ORDER_STAGES, type BackendEntry } from '@laburnumshift/forward-types';

/** An engine that was marked for an order and is not known to have its weights takes no calls. */
export function isUnderOrder({ mark, versions }: BackendEntry): boolean {
  return (
    mark !== undefined && mark.stage !== ORDER_STAGES.done && mark.version > (versions.get(mark.model) ?? 0)
  );
}
