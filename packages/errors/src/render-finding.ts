import type { Finding } from '@laburnumshift/types';

/** Renders a finding as `file:line:column: path: message`. */
export function renderFinding(finding: Finding): string {
  const path = finding.path === '' ? '' : `${finding.path}: `;
  return `${finding.file}:${String(finding.line)}:${String(finding.column)}: ${path}${finding.message}`;
}
