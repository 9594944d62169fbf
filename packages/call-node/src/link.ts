import type { NodeCallError, Result } from '@laburnumshift/types';

/** The outgoing link to one node. */
export interface Link {
  readonly sendRequest: (
    id: number,
    type: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<Result<unknown, NodeCallError>>;
  readonly close: (detail: string) => void;
}
