import type { Daemon } from './daemon.js';
import type { FakesReport } from './fakes-report.js';

/** What the steps of the demo work with. */
export interface DemoContext {
  readonly daemons: Daemon[];
  readonly getReport: () => Promise<FakesReport>;
}
