import type { Daemon } from './daemon.js';
import type { Deployment } from './deployment.js';
import type { SiteProcess } from './site-process.js';

/** Daemons and fakes of one run. */
export interface Cluster {
  readonly deployment: Deployment;
  readonly site: SiteProcess;
  readonly platformUrl: string;
  /** Declarations as published. */
  readonly declarations: string;
  /** Daemons that run; changes when daemons are started and stopped. */
  readonly daemons: Daemon[];
  /** Starts a daemon and puts it into the host list. */
  readonly addDaemon: (host: string, failureDomain: string) => Promise<Daemon>;
  /** Takes a daemon out of the host list. It is not stopped. */
  readonly removeDaemon: (daemon: Daemon) => Promise<void>;
  readonly close: () => Promise<void>;
}
