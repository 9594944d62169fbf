import type { Finding } from '@laburnumshift/types';

/** Renders a finding as `file:line:column: path: message`; without a line or a file that part is left out. */
export function renderFinding(finding: Finding): string {
  const path = finding.path === '' ? '' : `${finding.path}: `;
  const place = finding.line === 0 ? '' : `:${String(finding.line)}:${String(finding.column)}`;
  const file = finding.file === '' ? '' : `${finding.file}${place}: `;
  return `${file}${path}${finding.message}`;
}
