/** Memory, CPU time and report size of the service-level recorder. */
import {SystemClock} from '@savoryspur/common';
import {RequestOutcome, ServiceLevelRecorder} from '@savoryspur/report';
import {computeLine} from './least_squares.js';
import {measureCpu, measureHeap} from './measure.js';
import type {SlopeRow, SlopeSection} from './slope_section.js';

/** Numbers of workspaces for which the recorder is measured. */
const WORKSPACE_COUNTS = [500, 2000, 5800];

/** Records over which the CPU time of one is averaged. */
const RECORDS = 200_000;

/** Number of models over which the workspaces are spread. */
const MODEL_COUNT = 15;

/** Measures the recorder with several numbers of workspaces. */
export async function measureReport(): Promise<SlopeSection> {
  const rows: SlopeRow[] = [];
  for (const workspaces of WORKSPACE_COUNTS) {
    rows.push(await measureRecorder(workspaces));
  }
  const points = rows.map((row) => ({x: row.workspaces!, y: row.heapBytes!}));
  return {
    name: 'report',
    rows,
    lines: {heapBytesPerWorkspace: computeLine(points)},
  };
}

async function measureRecorder(workspaces: number): Promise<SlopeRow> {
  const clock = new SystemClock();
  const record = (recorder: ServiceLevelRecorder, index: number): void =>
    recorder.record({
      workspace: `workspace-${index % workspaces}`,
      target: `model-${(index % workspaces) % MODEL_COUNT}`,
      outcome: RequestOutcome.ANSWERED,
      firstTokenMs: 100 + (index % 100),
      betweenTokensMs: 20,
      objectives: {firstTokenMs: 490, betweenTokensMs: 49},
    });
  const {bytes, value} = await measureHeap(() => {
    const recorder = new ServiceLevelRecorder('host-1', clock);
    for (let i = 0; i < workspaces; i++) record(recorder, i);
    return recorder;
  });
  const cpuSeconds = await measureCpu(() => {
    for (let i = 0; i < RECORDS; i++) record(value, i);
  });
  let reportBytes = 0;
  const encodeCpuSeconds = await measureCpu(() => {
    reportBytes = JSON.stringify(value.encode()).length;
  });
  return {
    workspaces,
    heapBytes: bytes,
    cpuMicrosecondsPerRecord: (cpuSeconds / RECORDS) * 1e6,
    wholeReportBytes: reportBytes,
    wholeReportCpuMs: encodeCpuSeconds * 1e3,
    onlyBadReportBytes: JSON.stringify(value.encode({onlyBad: true})).length,
  };
}
