import type { RequestTrace } from '@laburnumshift/types';

/** Recorded steps of recent requests, for `explain`. */
export interface TraceStore {
  /** Adds a step. Details hold no prompt text and no keys. */
  readonly recordStep: (
    request: { readonly requestId: string; readonly account: string; readonly service: string },
    step: string,
    detail: Readonly<Record<string, unknown>>,
  ) => void;
  /** Finds the traces of a request id; ids are unique within an account only. */
  readonly findTraces: (requestId: string) => readonly RequestTrace[];
}
