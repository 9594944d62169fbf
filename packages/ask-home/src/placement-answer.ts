import type { ServerChoice } from '@laburnumshift/choose-server';

type ChosenServer = Omit<Extract<ServerChoice, { kind: 'server' }>, 'server'>;
type Refusal = Omit<Extract<ServerChoice, { kind: 'refuse' }>, 'inputs'>;

/** Answer of a home host to a placement request. */
export type PlacementAnswer =
  | (ChosenServer & {
      /** Id of the server. */
      readonly server: string;
      /** Start time of the server process, wall-clock milliseconds. */
      readonly bornMs: number;
    })
  | Refusal
  /**
   * No server has free capacity. The request is queued; a second answer follows within `PLACEMENT_TIMING.maxQueueMs` if a server is found.
   */
  | { readonly kind: 'wait' }
  /** The asked host is not ready to place calls of other hosts, or does not know the asking host. */
  | { readonly kind: 'unready' };
