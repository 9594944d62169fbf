/** Records steps of a request for `explain`. Details hold no prompt text and no keys. */
export type TraceRecorder = (
  request: { readonly requestId: string; readonly account: string; readonly service: string },
  step: string,
  detail: Readonly<Record<string, unknown>>,
) => void;
