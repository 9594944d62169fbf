import type { SiteReport } from './site-report.js';
import type { SiteRequest } from './site-request.js';
import type { SiteStart } from './site-start.js';

/** The process that runs the fakes. */
export interface SiteProcess {
  readonly startSite: (directory: string, enginePieces: number) => Promise<SiteStart>;
  readonly getReport: () => Promise<SiteReport>;
  /** Changes the host list or fault switches. */
  readonly setState: (request: Exclude<SiteRequest, { kind: 'start' | 'get-report' }>) => Promise<void>;
  readonly stop: () => void;
}
