import type { HostEntry } from '@laburnumshift/types';

/** The platform's host list as this node knows it. */
export interface HostWatch {
  readonly listHosts: () => readonly HostEntry[];
  /** Names of the backend servers that are leaving. */
  readonly getLeaving: () => ReadonlySet<string>;
  readonly onChange: (handler: (leaving: ReadonlySet<string>) => void) => void;
  readonly close: () => void;
}
