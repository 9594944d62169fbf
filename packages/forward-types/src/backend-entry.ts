import type { OrderMark } from './order-mark.js';

/** The registration of a backend server. */
export interface BackendEntry {
  /** Id of the running process; a restart usually changes it. */
  readonly id: string;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Calls that the server runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** The operator evacuated its failure domain: it finishes its calls and must get no further ones. False by default. */
  readonly isEvacuated?: boolean;
  /** Monotonic milliseconds at which this host learned that an evacuation of its failure domain ended; absent when none ended lately. */
  readonly readmittedMs?: number;
  /** Start time of the process, wall-clock milliseconds; distinguishes two processes with one id. 0 when not stated. */
  readonly bornMs: number;
  /** Number of the last report of the process to the store; orders what it says of itself. 0 when not stated. */
  readonly reportNumber?: number;
  /** Time for which the server stays cold after it wrote the entry, milliseconds; absent when not stated. */
  readonly coldMs?: number;
  /** The entry states that time as something else than a usable number, which is ignored. */
  readonly hasUnreadableCold?: boolean;
  /** Monotonic milliseconds until which the server is cold as far as this host knows; absent for a server that never was. */
  readonly coldUntilMs?: number;
  /** Weight versions by model name. */
  readonly versions: ReadonlyMap<string, number>;
  /** Mark of the last order to load weights; it is set before the order is sent. `undefined` without any. */
  readonly orderMark: OrderMark | undefined;
}
