/** Tells whether the tasks of a peer's record shall end; a call, because the answer changes while they wait. */
export function isStopped(record: { readonly stopper: AbortController }): boolean {
  return record.stopper.signal.aborted;
}
