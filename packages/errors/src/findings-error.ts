import type { Finding } from '@laburnumshift/types';
import { renderFinding } from './render-finding.js';

/** Reports all problems that were found in one input. The message has one line for each. */
export class FindingsError extends Error {
  readonly findings: readonly Finding[];

  constructor(findings: readonly Finding[]) {
    super(findings.map(renderFinding).join('\n'));
    this.name = 'FindingsError';
    this.findings = findings;
  }
}
