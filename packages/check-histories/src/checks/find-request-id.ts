/** Finds the caller's request id in the id of an engine run, which is `ID~SUFFIX`. */
export function findRequestId(runId: string): string {
  const end = runId.indexOf('~');
  return end < 0 ? runId : runId.slice(0, end);
}
