/** Formats the outcome of an experiment as text. */
import {formatTable} from '@marigoldfold/cli';
import type {ExpectationResult} from './expectations.js';
import type {PolicyResult, Quantiles} from './measures.js';
import type {ExperimentOutcome, PolicyViolation} from './runExperiment.js';

const PERCENT = 100;

/** Formats the tables of policies, classes and expectations, and the traces of violations. */
export function formatOutcome({result, expectationResults, violations}: ExperimentOutcome): string {
  const parts = [
    `${result.experiment}, seed ${result.seed}`,
    formatPolicies(result.policies),
    formatClasses(result.policies),
  ];
  if (expectationResults.length > 0) parts.push(formatExpectations(expectationResults));
  if (violations.length > 0) parts.push(violations.map(formatViolation).join('\n'));
  return parts.join('\n\n');
}

function formatPolicies(policies: Readonly<Record<string, PolicyResult>>): string {
  const rows = Object.entries(policies).map(([name, policy]) => [
    name,
    policy.goodputTokensPerSecond.toFixed(0),
    policy.wastedTokens,
  ]);
  return formatTable(['POLICY', 'GOODPUT TOKENS/S', 'WASTED TOKENS'], rows);
}

function formatClasses(policies: Readonly<Record<string, PolicyResult>>): string {
  const rows: (readonly (string | number)[])[] = [];
  for (const [policy, {classes}] of Object.entries(policies)) {
    for (const [name, result] of Object.entries(classes)) {
      rows.push([
        name,
        policy,
        result.offered,
        result.attained,
        result.late,
        result.refused,
        result.failed,
        `${(result.attainment * PERCENT).toFixed(2)}%`,
        formatQuantiles(result.firstTokenMs),
        formatQuantiles(result.interTokenMs),
        formatQuantiles(result.completionMs),
      ]);
    }
  }
  rows.sort((a, b) => String(a[0]).localeCompare(String(b[0])));
  const heading = ['CLASS', 'POLICY', 'OFFERED', 'ATTAINED', 'LATE', 'REFUSED', 'FAILED'];
  const quantiles = ['FIRST TOKEN MS', 'BETWEEN TOKENS MS', 'COMPLETION MS'];
  const table = formatTable([...heading, 'ATTAINMENT', ...quantiles], rows);
  return `${table}\nDurations are the 50th, 95th and 99th percentiles.`;
}

function formatQuantiles({p50, p95, p99}: Quantiles): string {
  return [p50, p95, p99].map((value) => value.toFixed(value < PERCENT ? 1 : 0)).join(' ');
}

function formatExpectations(expectationResults: readonly ExpectationResult[]): string {
  const rows = expectationResults.map(({text, measured, holds}) => [
    holds ? 'held' : 'NOT HELD',
    measured.toPrecision(5),
    text,
  ]);
  return formatTable(['', 'MEASURED', 'EXPECTED'], rows);
}

function formatViolation({policy, rule, request, message, trace}: PolicyViolation): string {
  const lines = trace.map((line) => `    ${line}`);
  return [`VIOLATION ${rule} under ${policy}: ${request} ${message}`, ...lines].join('\n');
}
