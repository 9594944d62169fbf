/**
 * Returns true once the tasks of an engine or store record have to end. This is a function because the type checker would
 * assume that the flag is unchanged after an `await`.
 */
export function isStopped(record: { readonly abortController: AbortController }): boolean {
  return record.abortController.signal.aborted;
}
