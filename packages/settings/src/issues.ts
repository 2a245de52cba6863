import type { ConfigurationIssue } from '@pimentostall/core';

/** An issue with its position in a file. Lines and columns start at 1. */
export interface SettingsIssue {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly field: string;
  readonly expected: string;
  readonly advice: string;
}

/** Formats issues one per line, as `file:line:column field: expected ...; advice`. */
export function formatIssues(issues: readonly (SettingsIssue | ConfigurationIssue)[]): string {
  return issues.map(formatIssue).join('\n');
}

function formatIssue(issue: SettingsIssue | ConfigurationIssue): string {
  const file = 'file' in issue ? issue.file : issue.section;
  const { line, column, field, expected, advice } = issue;
  return `${file}:${line}:${column} ${field}: expected ${expected}; ${advice}`;
}
