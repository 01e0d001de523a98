//! Plots the latency, coverage and outcomes of a run by second.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use plotters::coord::Shift;
use plotters::prelude::*;

use super::stats::Stats;
use crate::ops::exit::Exit;

/// Width and height of the plot.
const SIZE_PX: (u32, u32) = (960, 840);

/// Space for the labels of an axis.
const LABEL_AREA_PX: u32 = 48;

/// Space around a chart.
const MARGIN_PX: u32 = 10;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// One line of a chart.
struct Curve {
    name: &'static str,
    color: RGBColor,
    values: Vec<f64>,
}

impl Curve {
    fn new(
        name: &'static str,
        color: RGBColor,
        seconds: &[Stats],
        value: impl Fn(&Stats) -> f64,
    ) -> Curve {
        Curve {
            name,
            color,
            values: seconds.iter().map(value).collect(),
        }
    }
}

/// SVG file for the plot of a run.
#[derive(Debug)]
pub(super) struct Plot {
    path: PathBuf,
    file: File,
}

impl Plot {
    /// Creates the file before the run, so that an invalid path fails early.
    pub(super) fn create(path: &Path) -> Result<Plot, Report<Exit>> {
        let file = File::create(path)
            .change_context(Exit::Invalid)
            .attach_with(|| format!("{}: can't be written", path.display()))
            .attach("do: pass a file in an existing directory with --plot")?;
        Ok(Plot {
            path: path.to_owned(),
            file,
        })
    }

    /// Draws the plot and writes it to the file as SVG.
    pub(super) fn write(mut self, service: &str, seconds: &[Stats]) -> Result<(), Report<Exit>> {
        let mut svg = String::new();
        draw(&mut svg, service, seconds).map_err(|cause| {
            Report::new(Exit::Other).attach(format!("plot: the run can't be drawn: {cause}"))
        })?;
        self.file
            .write_all(svg.as_bytes())
            .change_context(Exit::Other)
            .attach_with(|| format!("{}: can't be written", self.path.display()))
    }
}

fn draw<'a>(svg: &'a mut String, service: &str, seconds: &[Stats]) -> Result<(), DrawError<'a>> {
    let root = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(&format!("service {service}"), ("sans-serif", 20))?;
    let areas = root.split_evenly((3, 1));
    let times = [
        Curve::new("p50", BLUE, seconds, |second| second.quantile_ms(0.5)),
        Curve::new("p99", RED, seconds, |second| second.quantile_ms(0.99)),
    ];
    chart(&areas[0], "time of answers, ms", &times)?;
    let coverage = [Curve::new(
        "mean coverage",
        BLUE,
        seconds,
        Stats::mean_coverage,
    )];
    chart(&areas[1], "coverage", &coverage)?;
    let endings = [
        Curve::new("whole", BLUE, seconds, |second| second.whole as f64),
        Curve::new("partial", MAGENTA, seconds, |second| {
            (second.answered - second.whole) as f64
        }),
        Curve::new("refused, not run", BLACK, seconds, |second| {
            second.refused as f64
        }),
        Curve::new("failed", RED, seconds, |second| second.failed as f64),
    ];
    chart(&areas[2], "queries a second", &endings)?;
    root.present()
}

fn chart<'a>(area: &Area<'a>, name: &str, curves: &[Curve]) -> Result<(), DrawError<'a>> {
    let values = curves.iter().flat_map(|curve| &curve.values);
    let max_value = values.copied().fold(0.0, f64::max);
    let length = curves.iter().map(|curve| curve.values.len()).max();
    let last = length.unwrap_or_default().saturating_sub(1).max(1);
    let y_max = if max_value > 0.0 {
        max_value * 1.1
    } else {
        1.0
    };
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0..last, 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc("second of the run")
        .y_desc(name)
        .draw()?;
    for curve in curves {
        let points = curve.values.iter().copied().enumerate();
        let color = curve.color;
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}
