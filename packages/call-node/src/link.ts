import type { NodeCallError, Result } from '@laburnumshift/types';

/** The outgoing link to one node. */
export interface Link {
  readonly sendRequest: (
    id: number,
    type: string,
    body: unknown,
    timeoutMs: number,
  ) => Promise<Result<unknown, NodeCallError>>;
  /** Called every heartbeat: pings when it is time, and replaces or closes a silent or idle link. */
  readonly checkBeat: () => void;
  readonly close: (detail: string) => void;
}
