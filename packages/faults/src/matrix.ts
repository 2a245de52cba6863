import type { RunReport } from './types.ts';
import { FaultKind, PromiseName } from './types.ts';

export interface MatrixCell {
  runs: number;
  violations: number;
}

/** Counts runs and violations by promise and fault. A run with two faults counts in both columns. */
export class Matrix {
  private readonly cells = new Map<string, MatrixCell>();
  runs = 0;
  violations = 0;

  add(report: RunReport): void {
    this.runs += 1;
    this.violations += report.violations.length > 0 ? 1 : 0;
    for (const promise of Object.values(PromiseName)) {
      const violated = report.violations.some((violation) => violation.promise === promise);
      for (const fault of new Set(report.struck)) {
        const cell = this.cell(promise, fault);
        cell.runs += 1;
        cell.violations += violated ? 1 : 0;
      }
    }
  }

  get cellCount(): number {
    return Object.values(PromiseName).length * Object.values(FaultKind).length;
  }

  get coveredCellCount(): number {
    return this.cells.size;
  }

  /** A table of "runs/violations" with a row per promise and a column per fault. */
  format(): string {
    const faults = Object.values(FaultKind);
    const header = ['promise'.padEnd(16), ...faults.map((fault) => fault.padStart(14))].join(' ');
    const rows = Object.values(PromiseName).map((promise) => {
      const cells = faults.map((fault) => {
        const { runs, violations } = this.cells.get(`${promise}/${fault}`) ?? { runs: 0, violations: 0 };
        return `${runs}/${violations}`.padStart(14);
      });
      return [promise.padEnd(16), ...cells].join(' ');
    });
    return [header, ...rows].join('\n');
  }

  private cell(promise: PromiseName, fault: FaultKind): MatrixCell {
    const key = `${promise}/${fault}`;
    const cell = this.cells.get(key) ?? { runs: 0, violations: 0 };
    this.cells.set(key, cell);
    return cell;
  }
}
