import type { HostEntry } from '@laburnumshift/types';

/** The platform's host list as this node knows it. */
export interface HostWatch {
  /** The last list read or relayed; `undefined` before the first one. */
  readonly listHosts: () => readonly HostEntry[] | undefined;
  /** Names of the backend servers that are leaving. */
  readonly getLeaving: () => ReadonlySet<string>;
  readonly onChange: (handler: (leaving: ReadonlySet<string>) => void) => void;
  readonly close: () => void;
}
