import type { Daemon } from './daemon.js';
import type { startFakes } from './start-fakes.js';

/** Running fakes and daemons with the example declarations in force. */
export interface DemoSite {
  readonly fakes: ReturnType<typeof startFakes>;
  readonly daemons: Daemon[];
  readonly platformUrl: string;
  /** Directory of the published declarations, a copy of the examples with the addresses of the fakes. */
  readonly declarations: string;
}
