/** Records a step of a request for the command `explain`. Details contain no prompt text and no keys. */
export type TraceRecorder = (
  request: { readonly requestId: string; readonly account: string; readonly service: string },
  step: string,
  detail: Readonly<Record<string, unknown>>,
) => void;
