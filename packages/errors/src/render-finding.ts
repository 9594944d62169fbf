import type { Finding } from '@laburnumshift/types';

/**
 * Renders a finding as `file:line:column: path: message`. The position is omitted for line 0, and an empty file or path
 * is omitted.
 */
export function renderFinding(finding: Finding): string {
  const path = finding.path === '' ? '' : `${finding.path}: `;
  const position = finding.line === 0 ? '' : `:${String(finding.line)}:${String(finding.column)}`;
  const file = finding.file === '' ? '' : `${finding.file}${position}: `;
  return `${file}${path}${finding.message}`;
}
