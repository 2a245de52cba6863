import type { ConfigurationIssue } from '@pimentostall/core';

/** An issue in a file, with its place. Line and column start at 1. */
export interface SettingsIssue {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly field: string;
  readonly expected: string;
  readonly advice: string;
}

/** Prints one line per issue: `file:line:column field: expected ...; what to do`. */
export function formatIssues(issues: readonly (SettingsIssue | ConfigurationIssue)[]): string {
  return issues.map(formatIssue).join('\n');
}

function formatIssue(issue: SettingsIssue | ConfigurationIssue): string {
  const file = 'file' in issue ? issue.file : issue.section;
  const { line, column, field, expected, advice } = issue;
  return `${file}:${line}:${column} ${field}: expected ${expected}; ${advice}`;
}
