import type { OrderMark } from './order-mark.js';

/** A backend server as it registered itself. */
export interface BackendEntry {
  /** Name of the running process; a restart mostly brings a new one. */
  readonly id: string;
  readonly service: string;
  /** `IP:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Wall-clock milliseconds of the process's start; tells two processes with one id apart. 0 when not told. */
  readonly bornMs: number;
  /** Weight versions by model name. */
  readonly versions: ReadonlyMap<string, number>;
  /** Mark of the last order: set before it is sent. */
  readonly mark: OrderMark | undefined;
}
