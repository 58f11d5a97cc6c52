//! The amount of work of a request, in milliseconds of one core at speed 1 (core milliseconds).

use rand_distr::{Distribution, Exp1, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Deserialize;

/// Distribution of the work of a class's requests; all have the class's mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WorkDistribution {
    /// The work of every request is the class's mean.
    Fixed,
    /// Exponential: coefficient of variation 1.
    #[default]
    Exp,
    /// Log-normal, with the class's coefficient of variation.
    Lognormal,
}

/// Draws the work of one request: `mean` in core milliseconds, `cv` the coefficient of variation (log-normal
/// alone).
pub fn draw(shape: WorkDistribution, mean: f64, cv: f64, rng: &mut Xoshiro256PlusPlus) -> f64 {
    match shape {
        WorkDistribution::Fixed => mean,
        WorkDistribution::Exp => mean * Distribution::<f64>::sample(&Exp1, rng),
        WorkDistribution::Lognormal => {
            // The normal's variance is ln(1 + cv^2) and its mean ln(mean) - variance / 2, which give the
            // requested mean and coefficient of variation.
            let variance = (1.0 + cv * cv).ln();
            match LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()) {
                Ok(normal) => normal.sample(rng),
                Err(_) => mean,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_xoshiro::rand_core::SeedableRng;

    #[test]
    fn drawn_work_has_the_requested_mean_and_variation() {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
        for (shape, cv) in
            [(WorkDistribution::Fixed, 0.0), (WorkDistribution::Exp, 1.0), (WorkDistribution::Lognormal, 0.7)]
        {
            let drawn: Vec<f64> = (0..100_000).map(|_| draw(shape, 80.0, cv, &mut rng)).collect();
            let mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
            let variance = drawn.iter().map(|w| (w - mean).powi(2)).sum::<f64>() / drawn.len() as f64;
            assert!((mean / 80.0 - 1.0).abs() < 0.02, "{shape:?}: mean {mean}");
            assert!((variance.sqrt() / mean - cv).abs() < 0.03, "{shape:?}: cv {}", variance.sqrt() / mean);
        }
    }
}
