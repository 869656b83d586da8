import type { WindowSummary } from '@jujubecroft/events';

const WIDTH_PX = 1200;
const ROUTE_HEIGHT_PX = 260;
const PLOT_HEIGHT_PX = 180;
const MARGIN_PX = 50;

interface Line {
  readonly name: string;
  readonly of: (row: WindowSummary) => number;
}

/** What is drawn of each route: how its requests ended, in each window. */
const LINES: readonly Line[] = [
  { name: 'answered', of: row => row.answered },
  { name: 'late first', of: row => row.lateFirst },
  { name: 'late pauses', of: row => row.latePauses },
  { name: 'deferred', of: row => row.deferred },
  { name: 'refused', of: row => row.refused },
  { name: 'cut or left', of: row => row.cut + row.left },
];

function topOf(index: number): number {
  return MARGIN_PX + index * ROUTE_HEIGHT_PX;
}

/**
 * Plots how the requests of each route ended over time.
 *
 * @param windows - of all routes
 * @returns an SVG document, one plot a route
 */
export async function plotDay(
  windows: readonly WindowSummary[],
): Promise<string> {
  // Loaded only here: instances, which draw nothing, start without it.
  const { init } = await import('echarts');
  const routes = [...new Set(windows.map(({ route }) => route))];
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height: topOf(routes.length),
  });
  chart.setOption({
    animation: false,
    legend: { data: LINES.map(({ name }) => name) },
    title: routes.map((route, index) => ({
      text: route,
      top: topOf(index) - MARGIN_PX / 2,
      textStyle: { fontSize: 12 },
    })),
    grid: routes.map((_, index) => ({
      top: topOf(index),
      height: PLOT_HEIGHT_PX,
    })),
    xAxis: routes.map((_, index) => ({
      type: 'value' as const,
      name: 's',
      gridIndex: index,
    })),
    yAxis: routes.map((_, index) => ({
      type: 'value' as const,
      gridIndex: index,
    })),
    series: routes.flatMap((route, index) =>
      LINES.map(({ name, of }) => ({
        name,
        type: 'line' as const,
        xAxisIndex: index,
        yAxisIndex: index,
        data: windows
          .filter(row => row.route === route)
          .map(row => [row.fromS, of(row)]),
      })),
    ),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
