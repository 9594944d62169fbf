import type { Finding } from '@laburnumshift/types';
import { renderFinding } from './render-finding.js';

/** All problems found in one input, reported together. */
export class FindingsError extends Error {
  readonly findings: readonly Finding[];

  constructor(findings: readonly Finding[]) {
    super(findings.map(renderFinding).join('\n'));
    this.name = 'FindingsError';
    this.findings = findings;
  }
}
