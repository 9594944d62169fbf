import type { NodeCallError, Result } from '@laburnumshift/types';

/** The outgoing link to one node, over one channel at a time. */
export interface Link {
  /** Sends a request and resolves with its reply or a failure, at the latest after `timeoutMs`. Never rejects. */
  readonly sendRequest: (
    id: number,
    type: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<Result<unknown, NodeCallError>>;
  /** Pings when a ping is due; replaces a silent channel and closes an idle link. Called at every heartbeat. */
  readonly checkLiveness: () => void;
  readonly close: (detail: string) => void;
}
