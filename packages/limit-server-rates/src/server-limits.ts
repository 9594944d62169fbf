import type { LimitedServer } from './limited-server.js';
import type { RoomForecast } from './room-forecast.js';

/** The limits that backend servers state, and this host's part of them. */
export interface ServerLimits {
  /**
   * Records what an answer of a server states.
   *
   * @param limitPerS calls a second that the server takes from all hosts together; `undefined` when it states none
   */
  readonly observeLimit: (server: LimitedServer, limitPerS: number | undefined) => void;
  /** Records a call for a service that this host places; the shares of the hosts follow from these. */
  readonly recordCall: (service: string) => void;
  /** Whether this host may send a call to the server now. */
  readonly hasRoom: (server: LimitedServer) => boolean;
  /** Takes the room for one call that is sent to the server. */
  readonly takeRoom: (server: LimitedServer) => void;
  /** Estimates when the servers take further calls of this host. */
  readonly estimateRoom: (servers: readonly LimitedServer[]) => RoomForecast;
  /** Returns functions with the same results that change nothing, to explain a choice. */
  readonly getReader: () => Pick<ServerLimits, 'hasRoom' | 'takeRoom' | 'estimateRoom'>;
  readonly removeServer: (id: string) => void;
  /** Number of servers with a limit in force. */
  readonly countLimited: () => number;
  readonly close: () => void;
}
