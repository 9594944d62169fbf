import type { RequestTrace } from '@laburnumshift/types';

/** The recorded steps of recent requests, which `explain` shows. */
export interface TraceStore {
  /** Records a step. The details must hold no prompt text and no keys. */
  readonly recordStep: (
    request: { readonly requestId: string; readonly account: string; readonly service: string },
    step: string,
    detail: Readonly<Record<string, unknown>>,
  ) => void;
  /** Finds the traces of a request id. Several may match because ids are unique only within an account. */
  readonly findTraces: (requestId: string) => readonly RequestTrace[];
}
