import type { WindowSummary } from '@jujubecroft/events';

const WIDTH_PX = 1200;
const ROUTE_HEIGHT_PX = 260;
const PLOT_HEIGHT_PX = 180;
const MARGIN_PX = 50;

interface Series {
  readonly name: string;
  readonly countOf: (row: WindowSummary) => number;
}

/**
 * Series of each route's plot: number of requests per window by how they ended.
 */
const SERIES: readonly Series[] = [
  { name: 'answered', countOf: row => row.answered },
  { name: 'late first', countOf: row => row.lateFirst },
  { name: 'late pauses', countOf: row => row.latePauses },
  { name: 'deferred', countOf: row => row.deferred },
  { name: 'refused', countOf: row => row.refused },
  { name: 'cut or left', countOf: row => row.cut + row.left },
];

function routeTopPx(index: number): number {
  return MARGIN_PX + index * ROUTE_HEIGHT_PX;
}

/**
 * Plots over time how the requests of each route ended.
 *
 * @param windows - time windows of all routes
 * @returns an SVG document with one plot per route
 */
export async function plotWindows(
  windows: readonly WindowSummary[],
): Promise<string> {
  // Imported on demand, so that instances, which plot nothing, start without it.
  const { init } = await import('echarts');
  const routes = [...new Set(windows.map(({ route }) => route))];
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height: routeTopPx(routes.length),
  });
  chart.setOption({
    animation: false,
    legend: { data: SERIES.map(({ name }) => name) },
    title: routes.map((route, index) => ({
      text: route,
      top: routeTopPx(index) - MARGIN_PX / 2,
      textStyle: { fontSize: 12 },
    })),
    grid: routes.map((_, index) => ({
      top: routeTopPx(index),
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
      SERIES.map(({ name, countOf }) => ({
        name,
        type: 'line' as const,
        xAxisIndex: index,
        yAxisIndex: index,
        data: windows
          .filter(row => row.route === route)
          .map(row => [row.fromS, countOf(row)]),
      })),
    ),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
