import type { ColdServer } from './cold-server.js';
import type { RoomForecast } from './room-forecast.js';

/** This host's part of the rates of cold servers. */
export interface ColdLimits {
  /** Whether this host may send a call to the cold server now. `coldPerS` is the rate that the server sustains from all hosts. */
  readonly hasRoom: (server: ColdServer, coldPerS: number) => boolean;
  /** Takes the room for one call that is sent to the server. */
  readonly takeRoom: (server: ColdServer) => void;
  /** Estimates when the servers take further calls of this host, also because they become warm. */
  readonly estimateRoom: (servers: readonly ColdServer[], coldPerS: number) => RoomForecast;
  /** Returns functions with the same results that change nothing, to explain a choice. */
  readonly getReader: () => Pick<ColdLimits, 'hasRoom' | 'takeRoom' | 'estimateRoom'>;
  readonly removeServer: (id: string) => void;
}
